#pragma once

#include "curranthoist/base/findings_error.hpp"

#include <cstdio>
#include <exception>
#include <system_error>

namespace curranthoist::base {

// How a server program ends; its pages and its --help name the same numbers.
enum exit_status : int
{
    exit_ok = 0,
    exit_failure = 1,
    exit_usage = 2,
    exit_settings = 3,
    exit_address = 4,
    exit_stop_limit = 5
};

// Runs a program's `action` and returns its status. An exception is printed to standard
// error and becomes the status of its kind: findings mean mistakes in the settings or the
// data folder, a system error an address that can't be bound.
template <class Action>
int status_of(Action action)
{
    try {
        return action();
    }
    catch (const findings_error& error) {
        std::fputs(error.what(), stderr);
        return exit_settings;
    }
    catch (const std::system_error& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return exit_address;
    }
    catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return exit_failure;
    }
}

} // namespace curranthoist::base
