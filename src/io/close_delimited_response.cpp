#include "io/close_delimited_response.h"

#include "io/socket.h"

#include <algorithm>
#include <cstring>
#include <memory>
#include <utility>

namespace figlanding {

namespace {

constexpr std::size_t blockBytes = std::size_t{32} * 1024;

struct CloseDelimitedBody
{
    int fd = -1;
    std::string text;
    HeldShare share;
    bool written = false; ///< all of it
};

// Called for the next block when all bytes before it were written to the socket.
auto readBlock(void *self, std::uint64_t offset, char *buffer, std::size_t size) -> ssize_t
{
    auto &body = *static_cast<CloseDelimitedBody *>(self);
    const auto left = body.text.size() - static_cast<std::size_t>(offset);
    if (left == 0) {
        body.written = true;
        cancelResetOnClose(body.fd);
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    const auto count = std::min(size, left);
    std::memcpy(buffer, body.text.data() + offset, count);
    return static_cast<ssize_t>(count);
}

// libmicrohttpd shuts a connection down before it closes it, so a reset at close() would come after
// a normal end. It frees the response before that.
auto freeBody(void *self) -> void
{
    const auto body = std::unique_ptr<CloseDelimitedBody>(static_cast<CloseDelimitedBody *>(self));
    if (!body->written) {
        resetNow(body->fd);
    }
}

} // namespace

auto makeCloseDelimitedResponse(MHD_Connection *handle, std::string body, HeldShare share)
    -> MHD_Response *
{
    const auto *info = MHD_get_connection_info(handle, MHD_CONNECTION_INFO_CONNECTION_FD);
    auto state = std::make_unique<CloseDelimitedBody>(CloseDelimitedBody{
        .fd = info->connect_fd, .text = std::move(body), .share = std::move(share)});
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
