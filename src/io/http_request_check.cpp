#include "io/http_request_check.h"

#include "figlanding/http_grammar.h"

namespace figlanding {

auto findRequestError(const HttpRequest &request) -> std::string
{
    if (!isFieldName(request.method)) { // methods and names of fields are both tokens
        return "method \"" + request.method + "\"";
    }
    if (request.target.empty() || request.target.find(' ') != std::string::npos
        || !isHeaderText(request.target)) {
        return "target \"" + request.target + "\"";
    }
    for (const auto &[name, value] : request.headers.fields()) {
        if (!isFieldName(name) || !isHeaderText(value)) {
            return "header \"" + name + "\"";
        }
    }
    return {};
}

} // namespace figlanding
