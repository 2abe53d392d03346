#include "stage.h"

/// @file
/// Case: bookings with many header fields, inside MaxHeaderBytes, run at their upstream, and their
/// connections are closed without an answer.

using namespace stage;

namespace {

constexpr auto configuration = R"({"Version":"r1","Routes":[
 {"Name":"book","Hostname":"x.example","PathPrefix":"/book/","RouteType":"unsafe",
  "Timeout":"2500ms","TargetLatency":"400ms","Service":"reservas","Attempts":2,"Priority":1}],
 "Services":[{"Name":"reservas","HealthCheckPath":"/healthz","MaxConnections":120,
  "WarmupPerS":4.8,"Warmup":"3000ms"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms",
  "IdleTimeout":"15000ms"},
 "Tenants":[{"Name":"band","ApiKeys":["key-of-band"],"RatePerS":1000,"Burst":1000}]})";

constexpr auto tolerated = 3; ///< LOST: more than three times

/// How many header fields, of which length, a request and the response to it have.
struct Shape
{
    int requestFields = 0;
    int requestValue = 0;
    int responseFields = 0;
};

auto fields(const std::string &name, int count, int valueSize) -> std::string
{
    auto text = std::string{};
    for (auto i = 0; i < count; ++i) {
        text += name + std::to_string(i) + ": "
            + std::string(static_cast<std::size_t>(valueSize), 'v') + "\r\n";
    }
    return text;
}

// Runs a booking and answers with as many header fields as it asks for.
auto answerBooking(Upstream &upstream, int fd, const Message &request) -> bool
{
    const auto count = request.header("x-answer-fields");
    if (count.empty() || request.header("x-expect-instance") != upstream.options().id) {
        return false;
    }
    const auto id = request.header("x-request-id");
    note(upstream.options().id + " runs " + id);
    sleepMs(20);
    const auto head = "X-Request-Id: " + id + "\r\nX-Upstream-Signature: sig." + id + "\r\n"
        + fields("X-Detail-", std::stoi(count), 76);
    note(upstream.options().id + " answers " + id + " with a head of " + std::to_string(head.size())
         + " bytes");
    sendAll(fd, response(200, head, "booked " + id + "\n"));
    return true;
}

} // namespace

auto main(int, char **argv) -> int
{
    const auto run = CaseRun(argv[1]);
    auto store = Store();
    store.put("keyed.op", "config", configuration);
    auto first = Upstream({.id = "i-0", .service = "reservas"}, answerBooking);
    auto second = Upstream({.id = "i-1", .service = "reservas"}, answerBooking);
    auto registrar = Registrar(store, {&first, &second}, {"sierra-a", "sierra-b"});
    auto router = Router(run.folder(), "edge-sierra-a-1", "sierra-a", store.port());
    if (!router.awaitReady()) {
        run.finish(2, "the process did not become ready");
    }
    sleepMs(1000);
    // Of the shapes, only the number of header fields differs from the calm ones.
    const auto shapes = isTroubled()
        ? std::vector<Shape>{{.requestFields = 300, .requestValue = 25, .responseFields = 20},
                             {.requestFields = 100, .requestValue = 145, .responseFields = 140}}
        : std::vector<Shape>{{.requestFields = 20, .requestValue = 30, .responseFields = 20},
                             {.requestFields = 20, .requestValue = 145, .responseFields = 20}};
    auto lost = 0;
    auto answered = 0;
    auto refused = 0;
    for (auto number = 0; number < 10; ++number) {
        const auto &shape = shapes.at(static_cast<std::size_t>(number) % shapes.size());
        auto connection = connectTo(router.callers);
        auto reader = Reader(connection.fd());
        const auto send = [&](const std::string &id, const std::string &more) {
            const auto text =
                requestHead("POST", "/book/1", id, 2500, more + "Content-Length: 4\r\n\r\nroom");
            note("request " + id + " is sent, head of " + std::to_string(text.size() - 4)
                 + " bytes");
            sendAll(connection.fd(), text);
            auto head = reader.readHead(4000);
            const auto whole = head && reader.readBody(*head, true, 4000);
            note("request " + id
                 + (whole                 ? " is answered " + std::to_string(head->status())
                        : reader.closed() ? " gets no answer, its connection ends"
                                          : " gets no answer"));
            return whole ? head->status() : 0;
        };
        const auto id = "b" + std::to_string(number);
        if (send(id + "-first", "X-Answer-Fields: 2\r\n") != 200) {
            run.finish(2, "a plain booking was not served");
        }
        const auto status = send(id,
                                 "X-Answer-Fields: " + std::to_string(shape.responseFields) + "\r\n"
                                     + fields("X-Field-", shape.requestFields, shape.requestValue));
        answered += status == 200 ? 1 : 0;
        refused += status != 200 && status != 0 ? 1 : 0;
        lost += status == 0 && reader.closed() ? 1 : 0;
    }
    if (router.ended()) {
        run.finish(2, "the process has ended");
    }
    router.kill();
    run.finish(lost > tolerated ? 1 : 0,
               "of 10 bookings on kept connections " + std::to_string(answered) + " were answered, "
                   + std::to_string(refused) + " refused, " + std::to_string(lost)
                   + " ran and their connection ended without an answer");
}
