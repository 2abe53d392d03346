#include "cli/cli.h"

#include <cstdlib>
#include <iostream>

using namespace figlanding::cli;

auto main(int argc, char **argv) -> int
{
    auto io = CliIo{.out = std::cout,
                    .err = std::cerr,
                    .environment =
                        [](const std::string &name) {
                            const auto *value = std::getenv(name.c_str());
                            return std::string(value == nullptr ? "" : value);
                        },
                    .version = FIGLANDING_VERSION};
    const auto arguments = std::vector<std::string>(argv + 1, argv + argc);
    return static_cast<int>(runCli(arguments, io));
}
