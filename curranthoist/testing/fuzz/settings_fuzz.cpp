#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/settings/control_settings.hpp"
#include "curranthoist/settings/entry_settings.hpp"

#include <cstdint>
#include <string_view>

// The text of a settings file: every mistake is a finding.

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace curranthoist;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    try {
        static_cast<void>(settings::parse_entry_settings(text, "entry.toml"));
    }
    catch (const base::findings_error&) {
        // The settings are refused.
    }
    try {
        static_cast<void>(settings::parse_control_settings(text, "control.toml"));
    }
    catch (const base::findings_error&) {
        // The settings are refused.
    }
    return 0;
}
