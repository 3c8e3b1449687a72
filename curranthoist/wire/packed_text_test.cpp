#include "curranthoist/wire/packed_text.hpp"

#include <gtest/gtest.h>

namespace curranthoist::wire {
namespace {

// Guards against a configuration that is read back otherwise than it was sent.
TEST(packed_text_test, a_text_comes_back_unchanged_and_shorter)
{
    std::string text;
    for (int i = 0; i < 1000; ++i) {
        text += R"({"name":"route-)" + std::to_string(i) + R"(","service":"s"},)";
    }
    const auto packed = pack_text(text);
    EXPECT_LT(packed.size() * 5, text.size());
    EXPECT_EQ(unpack_text(packed), text);
    EXPECT_EQ(unpack_text(pack_text("")), "");
}

// Guards against damaged bytes that pass for a configuration or exhaust the memory.
TEST(packed_text_test, damaged_bytes_are_refused)
{
    auto packed = pack_text("some text that is long enough to be damaged");
    EXPECT_FALSE(unpack_text({}));
    EXPECT_FALSE(unpack_text(std::span(packed).first(packed.size() - 3)));
    packed[0] = 0xFF;
    packed[3] = 0xFF;
    EXPECT_FALSE(unpack_text(packed));
}

} // namespace
} // namespace curranthoist::wire
