#include "curranthoist/testing/process_fixture.hpp"

#include "curranthoist/http/status.hpp"
#include "curranthoist/http/target_client.hpp"
#include "curranthoist/testing/loopback.hpp"

#include <ev++.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <iostream>
#include <optional>
#include <system_error>

#include <unistd.h>

namespace curranthoist::testing {

namespace {

using nlohmann::json;

std::string make_folder()
{
    std::string path =
        (std::filesystem::temp_directory_path() / "curranthoist-test-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) {
        throw std::system_error(errno, std::generic_category(), "cannot create " + path);
    }
    return path;
}

} // namespace

process_fixture::process_fixture()
    : folder_(make_folder())
{}

process_fixture::~process_fixture()
{
    if (HasFailure()) {
        print_outputs();
    }
    children_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void process_fixture::print_outputs() const
{
    constexpr std::size_t max_bytes = 6000;
    for (std::size_t i = 0; i < children_.size(); ++i) {
        const std::string output = children_[i]->output();
        const std::size_t begin = output.size() - std::min(output.size(), max_bytes);
        std::cout << "--- end of the output of process " << i << ":\n"
                  << output.substr(begin) << '\n';
    }
}

std::string process_fixture::new_address()
{
    return loopback_address(++last_address_);
}

child_process& process_fixture::start(std::string_view program,
                                      const std::vector<std::string>& arguments,
                                      const std::string& output)
{
    const std::string number = std::to_string(children_.size());
    children_.push_back(std::make_unique<child_process>(
        std::string(CURRANTHOIST_PROGRAM_FOLDER "/").append(program), arguments,
        output.empty() ? folder_ + "/output-" + number + ".txt" : output));
    return *children_.back();
}

http::target_result process_fixture::send(const base::endpoint& remote,
                                          http::target_call call)
{
    ev::dynamic_loop loop;
    http::target_client client(loop, remote, 1);
    std::optional<http::target_result> answer;
    client.start(std::move(call), [&](http::target_result result) {
        answer = std::move(result);
        loop.break_loop(ev::ALL);
    });
    loop.run(0);
    return answer.value();
}

json process_fixture::get_json(const base::endpoint& remote, const std::string& path)
{
    http::target_call call;
    call.method = "GET";
    call.path = path;
    const http::target_result result = send(remote, std::move(call));
    if (result.outcome != http::call_outcome::ok || result.status != http::status::ok) {
        return nullptr;
    }
    const json body = json::parse(result.body, nullptr, false);
    return body.is_discarded() ? json(nullptr) : body;
}

http::target_result process_fixture::post_json(const base::endpoint& remote,
                                               const std::string& path, const json& body)
{
    http::target_call call;
    call.path = path;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body.dump();
    return send(remote, std::move(call));
}

bool process_fixture::wait_until_ready(const base::endpoint& remote,
                                       const std::string& path, base::duration limit)
{
    return wait_until(
        [&] {
            http::target_call call;
            call.method = "GET";
            call.path = path;
            const http::target_result result = send(remote, std::move(call));
            return result.outcome == http::call_outcome::ok &&
                   result.status == http::status::ok;
        },
        limit);
}

} // namespace curranthoist::testing
