#include "io/open_ended_response.h"

#include "io/socket.h"

#include <algorithm>
#include <cstring>
#include <memory>
#include <utility>

namespace figlanding {

namespace {

constexpr std::size_t blockBytes = std::size_t{32} * 1024;

struct OpenEndedBody
{
    int fd = -1;
    std::string text;
};

// Called for the next block when all bytes before it were written to the socket.
auto readBlock(void *self, std::uint64_t offset, char *buffer, std::size_t size) -> ssize_t
{
    const auto &body = *static_cast<OpenEndedBody *>(self);
    const auto left = body.text.size() - static_cast<std::size_t>(offset);
    if (left == 0) {
        endOnClose(body.fd);
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    const auto count = std::min(size, left);
    std::memcpy(buffer, body.text.data() + offset, count);
    return static_cast<ssize_t>(count);
}

auto freeBody(void *self) -> void
{
    delete static_cast<OpenEndedBody *>(self);
}

} // namespace

auto makeOpenEndedResponse(MHD_Connection *handle, std::string body) -> MHD_Response *
{
    const auto *info = MHD_get_connection_info(handle, MHD_CONNECTION_INFO_CONNECTION_FD);
    auto state = std::make_unique<OpenEndedBody>(
        OpenEndedBody{.fd = info->connect_fd, .text = std::move(body)});
    auto *response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, blockBytes, &readBlock,
                                                       state.get(), &freeBody);
    if (response == nullptr) {
        return nullptr;
    }
    resetOnClose(state.release()->fd);
    MHD_set_response_options(response, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT, MHD_RO_END);
    return response;
}

} // namespace figlanding
