#pragma once

#include <cstdint>

namespace curranthoist::base {

// One metric value. A counter only rises; a gauge is set.
class counter
{
public:
    void add(std::int64_t by = 1) { value_ += by; }
    void set(std::int64_t value) { value_ = value; }
    [[nodiscard]] std::int64_t value() const { return value_; }

private:
    std::int64_t value_ = 0;
};

} // namespace curranthoist::base
