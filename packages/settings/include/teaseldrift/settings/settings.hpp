#pragma once

#include <string>

#include <google/protobuf/message.h>

namespace CLI {
class App;
}

namespace teaseldrift::settings {

/// @brief Adds a flag and an environment variable for each field of a settings message.
///
/// Field `caller_port` becomes `--caller-port` and `TEASELDRIFT_CALLER_PORT`. Names, defaults,
/// ranges and help texts come from the schema. An invalid value is rejected while the command line
/// is parsed, with an error that names the setting, the value and the allowed values.
///
/// ```cpp
/// CLI::App app("teaseldriftd");
/// schema::RouterSettings settings;
/// settings::addOptions(app, settings);
/// CLI11_PARSE(app, argc, argv);
/// ```
/// @param message must outlive the parsing
void addOptions(CLI::App &app, google::protobuf::Message &message);

/// @brief Formats the settings as lines of `TEASELDRIFT_NAME=value`, with secrets masked.
std::string formatSettings(const google::protobuf::Message &message);

} // namespace teaseldrift::settings
