#pragma once

namespace CLI {
class App;
}

namespace teaseldrift::ctl {

struct Context;

/// @brief create, set, delete and list of organisations, models, targets, routes, exceptions.
void addResourceCommands(CLI::App &app, Context &context);

/// @brief key create, withdraw, list.
void addKeyCommands(CLI::App &app, Context &context);

/// @brief defaults set, list; explain.
void addDefaultsCommands(CLI::App &app, Context &context);

/// @brief apply, get.
void addDocumentCommands(CLI::App &app, Context &context);

/// @brief status, explain-route.
void addFleetCommands(CLI::App &app, Context &context);

/// @brief load.
void addLoadCommand(CLI::App &app, Context &context);

} // namespace teaseldrift::ctl
