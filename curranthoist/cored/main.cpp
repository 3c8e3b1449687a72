#include "curranthoist/cored/core_program.hpp"
#include "curranthoist/platform/process_shell.hpp"

int main(int argc, char** argv)
{
    using curranthoist::cored::core_program;
    return curranthoist::platform::run_process<core_program>(
        argc, argv,
        {"curranthoist-core",
         "Holds the operators' configuration in a replicated log and "
         "passes it to the front processes."});
}
