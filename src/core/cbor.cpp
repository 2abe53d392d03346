#include "cbor.h"

#include <nlohmann/json.hpp>

namespace figlanding {

namespace {

using Json = nlohmann::json;

// Aborts parsing at the nesting limit, because the parser recurses for each level.
class DepthCheck : public nlohmann::json_sax<Json>
{
public:
    auto null() -> bool override
    {
        return true;
    }
    auto boolean(bool) -> bool override
    {
        return true;
    }
    auto number_integer(number_integer_t) -> bool override
    {
        return true;
    }
    auto number_unsigned(number_unsigned_t) -> bool override
    {
        return true;
    }
    auto number_float(number_float_t, const string_t &) -> bool override
    {
        return true;
    }
    auto string(string_t &) -> bool override
    {
        return true;
    }
    auto binary(binary_t &) -> bool override
    {
        return true;
    }
    auto key(string_t &) -> bool override
    {
        return true;
    }
    auto start_object(std::size_t) -> bool override
    {
        return ++m_depth <= maxCborDepth;
    }
    auto end_object() -> bool override
    {
        --m_depth;
        return true;
    }
    auto start_array(std::size_t) -> bool override
    {
        return ++m_depth <= maxCborDepth;
    }
    auto end_array() -> bool override
    {
        --m_depth;
        return true;
    }
    auto parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &)
        -> bool override
    {
        return false;
    }

private:
    std::size_t m_depth = 0;
};

} // namespace

auto parseCbor(std::string_view bytes) -> Result<Json>
{
    auto check = DepthCheck{};
    if (!Json::sax_parse(bytes, &check, Json::input_format_t::cbor)) {
        return fail(ErrorCode::InvalidSyntax, "malformed or too deeply nested CBOR");
    }
    // The library throws on some length fields even if exceptions are disabled.
    try {
        auto json = Json::from_cbor(bytes);
        return json;
    } catch (const Json::exception &error) {
        return fail(ErrorCode::InvalidSyntax, error.what());
    }
}

} // namespace figlanding
