#include "daemon/caller_server_options.h"

#include "figlanding/refusal.h"

namespace figlanding {

namespace {

/// Long enough for the bodies of others to be passed on.
constexpr milliseconds retryAfterNoMemory{1000};

auto noMemoryRefusal(const HttpRequest & /*request*/) -> HttpResponse
{
    return refusalResponse({.reason = RefusalReason::QueueFull,
                            .detail = "no memory left for the request",
                            .verdict = Verdict::NotRun,
                            .retryAfter = retryAfterNoMemory},
                           {});
}

} // namespace

auto callerServerOptions(const DaemonSettings &settings, HeldBytes &heldBytes) -> HttpServerOptions
{
    return {.address = settings.listen.callers,
            .maxHeaderBytes = settings.limits.maxHeaderBytes,
            .maxBodyBytes = settings.limits.maxBodyBytes,
            .maxConnections = settings.limits.maxConnections,
            .heldBytes = &heldBytes,
            .noMemoryResponse = &noMemoryRefusal};
}

} // namespace figlanding
