#include "cli_fixture.h"
#include "raw_server.h"

using namespace figlanding;
using namespace figlanding::testing;

namespace {

// Leaves time for the first complete round; a VM is then queried at most six times more.
const auto timeoutMs = std::string("1500");

} // namespace

TEST_CASE("a query that the deadline cuts off does not replace what the VM has reported")
{
    const auto log = LogStandinThread();
    const auto runner = CliRunner(log.address());
    applyDeclarations(runner);
    const auto body = std::string(R"({"vm": "vm-1", "offset": 0, "fresh": true})");
    const auto response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    auto vm = RawServer({{{RawAction::ReadRequest, {}}, {RawAction::Send, response}},
                         {{RawAction::ReadRequest, {}}, {RawAction::Hold, {}}}});
    checkRows(runner,
              {{{"watch", "1", "--timeout-ms", timeoutMs, "--admin", toText(vm.address())},
                1,
                "vm-1: offset 0"}});
    CHECK(vm.requests().size() == 2);
}

TEST_CASE("watch and --wait query every VM")
{
    const auto log = LogStandinThread();
    const auto runner = CliRunner(log.address());
    applyDeclarations(runner);
    struct WaitRow
    {
        std::string body; ///< body of the VM's response; empty closes the connection without one
        int code;
        std::string output;
    };
    const auto rows = std::vector<WaitRow>{
        {R"({"vm": "vm-1", "offset": 1, "fresh": true, "term": 1, "members": []})", 0, "in force"},
        {R"({"vm": "vm-1", "offset": 0, "fresh": true})", 1, "vm-1: offset 0"},
        {R"({"vm": "vm-1", "offset": 9, "fresh": false})", 1, "not fresh"},
        {R"({"vm": "vm-1", "offset": 1, "fresh": true, "members":
             [{"vm": "vm-2", "admin_address": "127.0.0.1:1"}]})",
         3, "connection failed"},
        {R"({"offset": 1})", 3, "names no VM"},
        {"[", 3, "status 200"},
        {"", 3, "connection failed"},
    };
    for (const auto &row : rows) {
        const auto response = "HTTP/1.1 200 OK\r\nContent-Length: "
            + std::to_string(row.body.size()) + "\r\n\r\n" + row.body;
        const auto script = RawScript{{RawAction::ReadRequest, {}},
                                      {RawAction::Send, row.body.empty() ? "" : response}};
        auto vm = RawServer(std::vector<RawScript>(20, script));
        checkRows(runner,
                  {{{"watch", "1", "--timeout-ms", timeoutMs, "--admin", toText(vm.address())},
                    row.code,
                    row.output}});
    }
    const auto offset = runner.json({"status"})["offset"];
    checkRows(runner,
              {{{"watch", "1"}, 2, "--admin"}, {{"zone", "leave", "a", "--wait"}, 2, "--admin"}});
    CHECK(runner.json({"status"})["offset"] == offset);
    checkRows(
        runner,
        {{{"key", "grant", "north", "--wait", "--timeout-ms", timeoutMs, "--admin", "127.0.0.1:1"},
          3,
          "credential north-"}});
}
