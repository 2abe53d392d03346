#pragma once

#include "figlanding/names.h"

namespace figlanding {

/// Version of the software that a backend server runs.
using ServerVersion = Name<struct ServerVersionTag>;

} // namespace figlanding
