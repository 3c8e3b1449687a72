#include "curranthoist/frontd/front_process.hpp"
#include "curranthoist/platform/process_shell.hpp"

int main(int argc, char** argv)
{
    using curranthoist::frontd::front_process;
    return curranthoist::platform::run_process<front_process>(
        argc, argv,
        {"curranthoist-front", "Takes callers' requests and sends them to the targets of "
                               "the configured services."});
}
