#include "curranthoist/cored/core_process.hpp"
#include "curranthoist/platform/process_shell.hpp"

int main(int argc, char** argv)
{
    using curranthoist::cored::core_process;
    return curranthoist::platform::run_process<core_process>(
        argc, argv,
        {"curranthoist-core",
         "Holds the operators' configuration in a replicated log and "
         "passes it to the front processes."});
}
