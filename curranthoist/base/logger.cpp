#include "curranthoist/base/logger.hpp"

#include "curranthoist/base/bounded_output.hpp"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>

#include <unistd.h>

namespace curranthoist::base {

namespace {

bounded_output& structured_lines()
{
    static bounded_output output(STDOUT_FILENO);
    return output;
}

// Hands formatted lines to a bounded_output on standard output.
class bounded_appender : public log4cxx::AppenderSkeleton
{
public:
    void close() override {}
    [[nodiscard]] bool requiresLayout() const override { return true; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event,
                log4cxx::helpers::Pool& pool) override
    {
        log4cxx::LogString line;
        getLayout()->format(line, event, pool);
        structured_lines().append(line);
        if (event->getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn())) {
            structured_lines().flush();
        }
    }
};

log4cxx::LevelPtr level_named(std::string_view name)
{
    if (name == "debug") {
        return log4cxx::Level::getDebug();
    }
    if (name == "info") {
        return log4cxx::Level::getInfo();
    }
    if (name == "warn") {
        return log4cxx::Level::getWarn();
    }
    if (name == "error") {
        return log4cxx::Level::getError();
    }
    return nullptr;
}

bool install_appender(const log4cxx::LevelPtr& level,
                      const log4cxx::AppenderPtr& appender)
{
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(level);
    return true;
}

log4cxx::AppenderPtr standard_error()
{
    const log4cxx::LayoutPtr layout(
        new log4cxx::PatternLayout(LOG4CXX_STR("%d{ISO8601} %p %c: %m%n")));
    return std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr());
}

log4cxx::AppenderPtr structured_output()
{
    const auto appender = std::make_shared<bounded_appender>();
    appender->setLayout(std::make_shared<log4cxx::PatternLayout>(
        LOG4CXX_STR("time=%d{ISO8601} level=%p part=%c %m%n")));
    return appender;
}

// The logger of a part. The default appender is installed before the first use, because
// log4cxx prints a warning of its own for a logger without one.
log4cxx::LoggerPtr part_logger(const std::string& part)
{
    static const bool installed =
        install_appender(log4cxx::Level::getWarn(), standard_error());
    static_cast<void>(installed);
    return log4cxx::Logger::getLogger(part);
}

} // namespace

logger::logger(std::string_view part)
    : part_(part)
{}

void logger::debug(std::string_view sentence) const
{
    LOG4CXX_DEBUG(part_logger(part_), std::string(sentence));
}

void logger::info(std::string_view sentence) const
{
    LOG4CXX_INFO(part_logger(part_), std::string(sentence));
}

void logger::warn(std::string_view sentence) const
{
    LOG4CXX_WARN(part_logger(part_), std::string(sentence));
}

void logger::error(std::string_view sentence) const
{
    LOG4CXX_ERROR(part_logger(part_), std::string(sentence));
}

bool logger::info_enabled() const
{
    return part_logger(part_)->isInfoEnabled();
}

bool configure_logging(std::string_view level)
{
    const log4cxx::LevelPtr chosen = level_named(level);
    if (!chosen) {
        return false;
    }
    part_logger("base");
    return install_appender(chosen, standard_error());
}

void write_structured_lines()
{
    structured_lines().flush();
}

bool configure_structured_logging(std::string_view level)
{
    const log4cxx::LevelPtr chosen = level_named(level);
    if (!chosen) {
        return false;
    }
    part_logger("base");
    return install_appender(chosen, structured_output());
}

} // namespace curranthoist::base
