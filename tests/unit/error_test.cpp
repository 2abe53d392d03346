#include "figlanding/error.h"
#include "figlanding/verdict.h"

#include <doctest/doctest.h>

using namespace figlanding;

TEST_CASE("describe joins the message of the code and the detail")
{
    CHECK(describe({ErrorCode::UnknownObject, "team \"north\""})
          == "unknown object: team \"north\"");
}

TEST_CASE("valueOrElse passes the error of a failed attempt to its handler")
{
    const auto code =
        valueOrElse([]() -> Result<ErrorCode> { return fail(ErrorCode::Timeout, "x"); },
                    [](const Error &error) { return error.code; });
    CHECK(code == ErrorCode::Timeout);
}

TEST_CASE("a combined verdict claims at least as much execution as each of its inputs")
{
    CHECK(combine(Verdict::NotRun, Verdict::MayHaveRun) == Verdict::MayHaveRun);
    CHECK(combine(Verdict::Ran, Verdict::MayHaveRun) == Verdict::Ran);
}
