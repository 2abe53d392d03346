#include "figlanding/selector.h"

#include <algorithm>

namespace figlanding {

namespace {

auto isWordCharacter(char c) -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
        || c == '_' || c == '.' || c == '/';
}

// Recursive-descent parser for one selector.
class SelectorParser
{
public:
    explicit SelectorParser(std::string_view text)
        : m_text(text)
    { }

    auto parseAll() -> Result<std::vector<Requirement>>
    {
        auto requirements = std::vector<Requirement>{};
        skipSpaces();
        if (atEnd()) {
            return requirements;
        }
        do {
            BOOST_LEAF_AUTO(requirement, parseRequirement());
            requirements.push_back(std::move(requirement));
        } while (consumeText(","));
        if (!atEnd()) {
            return syntaxError("expected ',' or the end");
        }
        return requirements;
    }

private:
    auto parseRequirement() -> Result<Requirement>
    {
        auto requirement = Requirement{};
        const auto negated = consumeText("!");
        BOOST_LEAF_ASSIGN(requirement.label, parseLabelName());
        if (negated) {
            requirement.op = SelectorOperator::NotExists;
            return requirement;
        }
        if (consumeText("!=")) {
            return parseOperand(std::move(requirement), SelectorOperator::NotEquals);
        }
        if (consumeText("==") || consumeText("=")) {
            return parseOperand(std::move(requirement), SelectorOperator::Equals);
        }
        if (consumeWord("in")) {
            return parseOperandList(std::move(requirement), SelectorOperator::In);
        }
        if (consumeWord("notin")) {
            return parseOperandList(std::move(requirement), SelectorOperator::NotIn);
        }
        return requirement;
    }

    auto parseOperand(Requirement requirement, SelectorOperator op) -> Result<Requirement>
    {
        requirement.op = op;
        BOOST_LEAF_AUTO(value, parseLabelValue());
        requirement.values.push_back(std::move(value));
        return requirement;
    }

    auto parseOperandList(Requirement requirement, SelectorOperator op) -> Result<Requirement>
    {
        requirement.op = op;
        if (!consumeText("(")) {
            return syntaxError("expected '('");
        }
        auto &values = requirement.values;
        do {
            BOOST_LEAF_AUTO(value, parseLabelValue());
            if (value.empty()) {
                return syntaxError("expected a label value");
            }
            values.push_back(std::move(value));
        } while (consumeText(","));
        if (!consumeText(")")) {
            return syntaxError("expected ',' or ')'");
        }
        std::sort(values.begin(), values.end());
        values.erase(std::unique(values.begin(), values.end()), values.end());
        return requirement;
    }

    auto parseLabelName() -> Result<std::string>
    {
        const auto word = peekWord();
        if (word.empty()) {
            return syntaxError("expected a label name");
        }
        BOOST_LEAF_CHECK(checkLabelName(word));
        advance(word.size());
        return std::string(word);
    }

    auto parseLabelValue() -> Result<std::string>
    {
        const auto word = peekWord();
        BOOST_LEAF_CHECK(checkLabelValue(word));
        advance(word.size());
        return std::string(word);
    }

    auto peekWord() const -> std::string_view
    {
        const auto rest = m_text.substr(m_position);
        const auto *const end = std::find_if_not(rest.begin(), rest.end(), isWordCharacter);
        return rest.substr(0, static_cast<std::size_t>(end - rest.begin()));
    }

    auto consumeText(std::string_view text) -> bool
    {
        if (!m_text.substr(m_position).starts_with(text)) {
            return false;
        }
        advance(text.size());
        return true;
    }

    auto consumeWord(std::string_view word) -> bool
    {
        return peekWord() == word && consumeText(word);
    }

    auto advance(std::size_t count) -> void
    {
        m_position += count;
        skipSpaces();
    }

    auto skipSpaces() -> void
    {
        while (!atEnd() && (m_text[m_position] == ' ' || m_text[m_position] == '\t')) {
            ++m_position;
        }
    }

    auto atEnd() const -> bool
    {
        return m_position == m_text.size();
    }

    auto syntaxError(std::string_view expected) const -> boost::leaf::error_id
    {
        return fail(ErrorCode::InvalidSyntax,
                    std::string(expected) + " at position " + std::to_string(m_position)
                        + " of selector \"" + std::string(m_text) + "\"");
    }

    std::string_view m_text;
    std::size_t m_position = 0;
};

auto matchesRequirement(const Requirement &requirement, const Labels &labels) -> bool
{
    const auto found = labels.find(requirement.label);
    const auto exists = found != labels.end();
    const auto listed = exists
        && std::binary_search(requirement.values.begin(), requirement.values.end(), found->second);
    switch (requirement.op) {
    case SelectorOperator::Equals:
    case SelectorOperator::In:
        return listed;
    case SelectorOperator::NotEquals:
    case SelectorOperator::NotIn:
        return !listed;
    case SelectorOperator::Exists:
        return exists;
    case SelectorOperator::NotExists:
        return !exists;
    }
    return false;
}

auto joinValues(const Requirement &requirement) -> std::string
{
    auto text = std::string{};
    for (const auto &value : requirement.values) {
        text += (text.empty() ? "" : ", ") + value;
    }
    return text;
}

auto requirementText(const Requirement &requirement) -> std::string
{
    switch (requirement.op) {
    case SelectorOperator::Equals:
        return requirement.label + "=" + joinValues(requirement);
    case SelectorOperator::NotEquals:
        return requirement.label + "!=" + joinValues(requirement);
    case SelectorOperator::In:
        return requirement.label + " in (" + joinValues(requirement) + ")";
    case SelectorOperator::NotIn:
        return requirement.label + " notin (" + joinValues(requirement) + ")";
    case SelectorOperator::Exists:
        return requirement.label;
    case SelectorOperator::NotExists:
        return "!" + requirement.label;
    }
    return {};
}

} // namespace

auto Selector::parse(std::string_view text) -> Result<Selector>
{
    auto selector = Selector{};
    BOOST_LEAF_ASSIGN(selector.m_requirements, SelectorParser(text).parseAll());
    return selector;
}

auto Selector::matches(const Labels &labels) const -> bool
{
    return std::all_of(
        m_requirements.begin(), m_requirements.end(),
        [&](const Requirement &requirement) { return matchesRequirement(requirement, labels); });
}

auto Selector::toText() const -> std::string
{
    auto text = std::string{};
    for (const auto &requirement : m_requirements) {
        text += (text.empty() ? "" : ", ") + requirementText(requirement);
    }
    return text;
}

} // namespace figlanding
