#pragma once

#include "curranthoist/base/finding.hpp"

#include <span>
#include <string>
#include <vector>

namespace curranthoist::base {

// Collects every mistake in an input, so that all are reported together:
//
//     base::findings found;
//     found.add("entry.toml:3:1", "unknown key 'prot'");
//     found.throw_if_any();
class findings
{
public:
    void add(std::string place, std::string text);
    // Appends all findings of `other`.
    void merge(const findings& other);

    [[nodiscard]] bool empty() const { return list_.empty(); }
    [[nodiscard]] std::span<const finding> list() const { return list_; }
    // One line "place: text" for each finding.
    [[nodiscard]] std::string str() const;
    // Throws findings_error with all findings unless there are none.
    void throw_if_any() const;

private:
    std::vector<finding> list_;
};

} // namespace curranthoist::base
