#include "standins/standin_program.h"
#include "standins/vm_list_standin.h"

#include <tclap/CmdLine.h>

using namespace figlanding;

auto main(int argc, char **argv) -> int
{
    TCLAP::CmdLine command("Stand-in for the platform's VM list service");
    TCLAP::ValueArg<std::uint16_t> port("", "port", "listening port; 0 picks a free one", false, 0,
                                        "port", command);
    TCLAP::ValueArg<std::string> vms("", "vms", "initial list, a JSON array", false, "[]", "json",
                                     command);
    command.parse(argc, argv);

    EventLoop loop;
    auto list = standins::VmListStandin(
        loop, {.address = {"127.0.0.1", port.getValue()}, .vms = vms.getValue()});
    return valueOrElse(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(list.start());
            return standins::runProgram(loop, list.port());
        },
        standins::failProgram);
}
