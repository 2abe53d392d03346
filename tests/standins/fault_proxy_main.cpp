#include "standins/fault_proxy.h"
#include "standins/standin_program.h"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace figlanding;

auto main(int argc, char **argv) -> int
{
    TCLAP::CmdLine command("TCP proxy that injects faults");
    TCLAP::ValueArg<std::uint16_t> port("", "port", "listening port; 0 picks a free one", false, 0,
                                        "port", command);
    TCLAP::ValueArg<std::uint16_t> admin("", "admin-port", "admin port; 0 picks a free one", false,
                                         0, "port", command);
    TCLAP::ValueArg<std::uint16_t> target("", "target", "loopback port to forward to", true, 0,
                                          "port", command);
    command.parse(argc, argv);

    EventLoop loop;
    return valueOrElse(
        [&]() -> Result<int> {
            auto proxy = standins::FaultProxy(loop,
                                              {.address = {"127.0.0.1", port.getValue()},
                                               .target = {"127.0.0.1", target.getValue()}});
            BOOST_LEAF_CHECK(proxy.start());
            auto faults = standins::FaultProxyAdmin(loop, proxy);
            BOOST_LEAF_CHECK(faults.start({"127.0.0.1", admin.getValue()}));
            std::cout << "admin " << faults.port() << std::endl;
            return standins::runProgram(loop, proxy.port());
        },
        standins::failProgram);
}
