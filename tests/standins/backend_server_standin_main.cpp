#include "standins/backend_server_standin.h"
#include "standins/standin_program.h"

#include <tclap/CmdLine.h>

using namespace figlanding;

auto main(int argc, char **argv) -> int
{
    TCLAP::CmdLine command("Stand-in for a backend server");
    TCLAP::ValueArg<std::string> id("", "id", "name of the server", false, "server", "name",
                                    command);
    TCLAP::ValueArg<std::uint16_t> port("", "port", "listening port; 0 picks a free one", false, 0,
                                        "port", command);
    TCLAP::ValueArg<std::size_t> slots("", "slots", "number of concurrent requests", false, 2,
                                       "count", command);
    TCLAP::ValueArg<int> service("", "service-ms", "service time", false, 5, "ms", command);
    TCLAP::ValueArg<int> cold("", "cold-ms", "duration of the cold phase", false, 0, "ms", command);
    TCLAP::ValueArg<std::size_t> coldSlots("", "cold-slots", "concurrent requests while cold",
                                           false, 1, "count", command);
    TCLAP::SwitchArg checks("", "checks-fence", "refuse requests without a valid lease and grant",
                            command);
    TCLAP::ValueArg<int> connection("", "connection-us", "time that a new connection blocks", false,
                                    1000, "us", command);
    TCLAP::ValueArg<int> probe("", "probe-us", "time that a health request blocks", false, 0, "us",
                               command);
    TCLAP::ValueArg<int> lag("", "health-lag-ms", "caching time of health responses", false, 0,
                             "ms", command);
    TCLAP::ValueArg<std::string> history("", "history", "file for the execution history", false, "",
                                         "file", command);
    command.parse(argc, argv);

    EventLoop loop;
    auto server =
        standins::BackendServerStandin(loop,
                                       {.id = id.getValue(),
                                        .address = {"127.0.0.1", port.getValue()},
                                        .slots = slots.getValue(),
                                        .serviceTime = milliseconds(service.getValue()),
                                        .coldTime = milliseconds(cold.getValue()),
                                        .coldSlots = coldSlots.getValue(),
                                        .checksFence = checks.getValue(),
                                        .connectionCost = microseconds(connection.getValue()),
                                        .probeCost = microseconds(probe.getValue()),
                                        .healthCacheTime = milliseconds(lag.getValue()),
                                        .historyFile = history.getValue()});
    return valueOrElse(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(server.start());
            return standins::runProgram(loop, server.port());
        },
        standins::failProgram);
}
