#include "curranthoist/consensus/membership.hpp"

#include "curranthoist/base/findings_error.hpp"
#include "curranthoist/base/parse_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace curranthoist::consensus {

namespace {

using nlohmann::json;

bool is_majority(std::span<const base::member_id> voters,
                 const std::function<bool(const base::member_id&)>& agrees)
{
    const auto count = std::count_if(voters.begin(), voters.end(), agrees);
    return static_cast<std::size_t>(count) * 2 > voters.size();
}

base::log_index
majority_index(std::span<const base::member_id> voters,
               const std::function<base::log_index(const base::member_id&)>& reached)
{
    if (voters.empty()) {
        return {};
    }
    std::vector<base::log_index> indexes;
    indexes.reserve(voters.size());
    for (const base::member_id& id : voters) {
        indexes.push_back(reached(id));
    }
    std::sort(indexes.begin(), indexes.end(), std::greater<>());
    return indexes[indexes.size() / 2];
}

[[noreturn]] void throw_malformed(const std::string& reason)
{
    base::findings found;
    found.add("membership", reason);
    throw base::findings_error(found);
}

// Higher than any member_role.
constexpr std::uint64_t no_role = 255;

member decode_member(const json& value)
{
    member result;
    result.id = base::member_id(value.at("id").get<std::string>());
    const auto address = base::endpoint::parse(value.at("address").get<std::string>());
    // Only an integer converts: a fraction out of the type's range has no defined value.
    const json& number = value.at("role");
    const auto role = number.is_number_unsigned() ? number.get<std::uint64_t>() : no_role;
    if (result.id.empty() || !address ||
        role > static_cast<std::uint64_t>(member_role::leaving)) {
        throw_malformed("member entry is malformed");
    }
    result.address = *address;
    result.role = static_cast<member_role>(role);
    return result;
}

} // namespace

membership::membership(std::vector<member> members)
    : members_(std::move(members))
{}

const member* membership::find(const base::member_id& id) const
{
    const auto found = std::find_if(members_.begin(), members_.end(),
                                    [&](const member& one) { return one.id == id; });
    return found == members_.end() ? nullptr : &*found;
}

bool membership::is_voter(const base::member_id& id) const
{
    const member* found = find(id);
    return found != nullptr && found->role != member_role::learner;
}

std::vector<base::member_id> membership::voters() const
{
    std::vector<base::member_id> result;
    for (const member& one : members_) {
        if (one.role == member_role::voter) {
            result.push_back(one.id);
        }
    }
    return result;
}

bool membership::has_quorum(
    const std::function<bool(const base::member_id&)>& agrees) const
{
    return is_majority(voters(), agrees) &&
           (outgoing_.empty() || is_majority(outgoing_, agrees));
}

base::log_index membership::quorum_index(
    const std::function<base::log_index(const base::member_id&)>& reached) const
{
    const base::log_index incoming = majority_index(voters(), reached);
    return outgoing_.empty() ? incoming
                             : std::min(incoming, majority_index(outgoing_, reached));
}

std::string membership::refusal(const membership_change& change) const
{
    using kind = membership_change::change_kind;
    const member* found = find(change.id);
    if (is_joint()) {
        return "a replacement is in progress";
    }
    if (change.id.empty()) {
        return "member id is empty";
    }
    if (change.kind == kind::add_learner) {
        return found == nullptr ? "" : "member " + change.id.str() + " exists already";
    }
    if (found == nullptr) {
        return "member " + change.id.str() + " does not exist";
    }
    if (change.kind == kind::promote) {
        if (found->role != member_role::learner) {
            return "member " + change.id.str() + " is no learner";
        }
        if (!change.replaced.empty() && !is_voter(change.replaced)) {
            return "member " + change.replaced.str() + " is no voter";
        }
        return "";
    }
    const std::vector<base::member_id> all = voters();
    return all.size() == 1 && all.front() == change.id ? "the last voter can't be removed"
                                                       : "";
}

membership membership::changed(const membership_change& change) const
{
    using kind = membership_change::change_kind;
    membership result = *this;
    result.replaced_ = {};
    result.replacement_ = {};
    if (change.kind == kind::add_learner) {
        result.members_.push_back({change.id, change.address, member_role::learner});
        return result;
    }
    if (change.kind == kind::remove) {
        std::erase_if(result.members_,
                      [&](const member& one) { return one.id == change.id; });
        return result;
    }
    if (!change.replaced.empty()) {
        result.outgoing_ = voters();
        result.replaced_ = change.replaced;
        result.replacement_ = change.id;
    }
    for (member& one : result.members_) {
        if (one.id == change.id) {
            one.role = member_role::voter;
        }
        else if (one.id == change.replaced) {
            one.role = member_role::leaving;
        }
    }
    return result;
}

membership membership::without_leaving() const
{
    membership result = *this;
    result.outgoing_.clear();
    std::erase_if(result.members_,
                  [](const member& one) { return one.role == member_role::leaving; });
    return result;
}

std::vector<std::uint8_t> membership::encode() const
{
    json value;
    value["members"] = json::array();
    for (const member& one : members_) {
        value["members"].push_back({{"id", one.id.str()},
                                    {"address", one.address.str()},
                                    {"role", static_cast<unsigned>(one.role)}});
    }
    value["outgoing"] = json::array();
    for (const base::member_id& id : outgoing_) {
        value["outgoing"].push_back(id.str());
    }
    value["replaced"] = replaced_.str();
    value["replacement"] = replacement_.str();
    const std::string text = value.dump();
    return {text.begin(), text.end()};
}

membership membership::decode(std::span<const std::uint8_t> bytes)
{
    try {
        const json value =
            base::parse_json({reinterpret_cast<const char*>(bytes.data()), bytes.size()});
        membership result;
        for (const json& one : value.at("members")) {
            result.members_.push_back(decode_member(one));
        }
        for (const json& one : value.at("outgoing")) {
            result.outgoing_.emplace_back(one.get<std::string>());
        }
        result.replaced_ = base::member_id(value.at("replaced").get<std::string>());
        result.replacement_ = base::member_id(value.at("replacement").get<std::string>());
        return result;
    }
    catch (const json::exception& error) {
        throw_malformed(error.what());
    }
}

} // namespace curranthoist::consensus
