#include "standins/log_standin.h"
#include "standins/standin_program.h"

#include <tclap/CmdLine.h>

using namespace figlanding;

auto main(int argc, char **argv) -> int
{
    TCLAP::CmdLine command("Stand-in for the platform's log service");
    TCLAP::ValueArg<std::uint16_t> port("", "port", "listening port; 0 picks a free one", false, 0,
                                        "port", command);
    TCLAP::ValueArg<std::size_t> keep("", "keep-records", "records retained; 0: unlimited", false,
                                      0, "count", command);
    TCLAP::ValueArg<int> age("", "keep-age-ms", "largest age of records; 0: unlimited", false, 0,
                             "ms", command);
    command.parse(argc, argv);

    EventLoop loop;
    auto log = standins::LogStandin(loop,
                                    {.address = {"127.0.0.1", port.getValue()},
                                     .keepRecords = keep.getValue(),
                                     .keepAge = milliseconds(age.getValue())});
    return valueOrElse(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(log.start());
            return standins::runProgram(loop, log.port());
        },
        standins::failProgram);
}
