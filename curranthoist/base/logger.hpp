#pragma once

#include <string>
#include <string_view>

namespace curranthoist::base {

// Writes log lines of one part of the system with its fixed prefix, through log4cxx:
//
//     const base::logger log("routing");
//     log.info("sent shard 3 to target hides-3a for request 17");
//
// prints "<time> INFO routing: sent shard 3 ...". Before configure_logging() is called,
// only warnings and errors are printed.
class logger
{
public:
    explicit logger(std::string_view part);

    void debug(std::string_view sentence) const;
    void info(std::string_view sentence) const;
    void warn(std::string_view sentence) const;
    void error(std::string_view sentence) const;
    // True if info() prints; lets a hot path skip building the sentence.
    [[nodiscard]] bool info_enabled() const;

private:
    std::string part_;
};

// Sends log lines of `level` (debug, info, warn, error) and above to standard error.
// Returns false if the level's name is unknown; nothing changes then.
bool configure_logging(std::string_view level);

// The same for programs whose lines machines read: each line is
// `time=<ISO 8601> level=<level> part=<part> <sentence>` on standard output, and the
// sentence is a list of key=value pairs that begins with `event`. Writing never blocks;
// see bounded_output. Warnings and errors are written at once, other lines by
// write_structured_lines().
bool configure_structured_logging(std::string_view level);

// Writes the lines that are still kept. Call it before the loop waits and before the
// process ends: a system call for each line would cost more than the line.
void write_structured_lines();

} // namespace curranthoist::base
