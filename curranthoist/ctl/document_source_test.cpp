#include "curranthoist/cored/operator_server_options.hpp"
#include "curranthoist/ctl/document_source.hpp"
#include "curranthoist/ctl/unreadable_document.hpp"

#include <gtest/gtest.h>

namespace curranthoist::ctl {
namespace {

// Guards against a missing file or a folder that is checked as an empty document.
TEST(document_source_test, what_is_no_file_is_reported)
{
    EXPECT_THROW(read_document("/nonexistent.json"), unreadable_document);
    EXPECT_THROW(read_document("/"), unreadable_document);
    EXPECT_THROW(read_document(""), unreadable_document);
}

// Guards against an endless or huge file that takes all memory.
TEST(document_source_test, reads_no_more_than_the_core_takes)
{
    EXPECT_EQ(read_document("/dev/zero").size(), cored::max_operator_body_bytes + 1);
    EXPECT_EQ(read_document("/dev/null"), "");
}

// Guards against waiting for an address where nobody listens.
TEST(document_source_test, an_address_without_an_answer_is_reported)
{
    EXPECT_THROW(fetch_document({"127.0.0.1:1"}), unreadable_document);
}

} // namespace
} // namespace curranthoist::ctl
