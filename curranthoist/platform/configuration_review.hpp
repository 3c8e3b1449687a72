#pragma once

#include "curranthoist/base/findings.hpp"
#include "curranthoist/deployment/configuration.hpp"
#include "curranthoist/deployment/configuration_field.hpp"

#include <string>
#include <string_view>

namespace curranthoist::platform {

// A field's name in the operators' documents.
std::string document_name(deployment::configuration_field field);

// Warnings about a document that was decoded to `decoded`: those of
// deployment::check_configuration() with the places of the document, and entries that the
// decoder passes over: all but the last of a service that is listed twice, and all but
// one way to name a route's destination.
base::findings review_configuration(std::string_view document,
                                    const deployment::configuration& decoded);

} // namespace curranthoist::platform
