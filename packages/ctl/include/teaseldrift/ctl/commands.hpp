#pragma once

namespace CLI {
class App;
}

namespace teaseldrift::ctl {

struct Context;

/// @brief Adds create, set, delete and list for organisations, models, targets, routes and
/// exceptions.
void addResourceCommands(CLI::App &app, Context &context);

/// @brief Adds key create, key withdraw and key list.
void addKeyCommands(CLI::App &app, Context &context);

/// @brief Adds defaults set, defaults list and explain.
void addDefaultsCommands(CLI::App &app, Context &context);

/// @brief Adds apply and get.
void addDocumentCommands(CLI::App &app, Context &context);

/// @brief Adds status and explain-route.
void addFleetCommands(CLI::App &app, Context &context);

/// @brief Adds quarantine list and quarantine lift.
void addQuarantineCommands(CLI::App &app, Context &context);

/// @brief Adds load.
void addLoadCommand(CLI::App &app, Context &context);

} // namespace teaseldrift::ctl
