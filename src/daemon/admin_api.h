#pragma once

#include "figlanding/cluster_state.h"
#include "figlanding/http_message.h"

#include <map>
#include <string>

/// @file
/// Responses of the admin port: health, readiness, metrics and cluster state.

namespace figlanding {

/// State of this VM from which the admin port builds its responses.
struct AdminView
{
    VmId vm;
    const ClusterState &state;
    bool fresh = false; ///< the view of the cluster state is fresh
    bool leaving = false; ///< this VM is shutting down
    bool member = false; ///< this process is a member of the cluster
    bool logReachable = false; ///< the last read of the log succeeded
    std::map<VmId, SocketAddress> adminAddresses; ///< of this VM and its peers
    std::string metricsText; ///< in the Prometheus text format
};

/// Handles GET requests for /healthz, /readyz, /metrics and /v1/state.
/// @return 404 for any other path, 405 for any other method, 503 if /readyz finds the VM not ready
[[nodiscard]] auto adminResponse(const HttpRequest &request, const AdminView &view) -> HttpResponse;

} // namespace figlanding
