#include "teaseldrift/telemetry/log.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

namespace teaseldrift::telemetry {

namespace {

log4cxx::LoggerPtr logger()
{
    static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("teaseldrift");
    return instance;
}

log4cxx::LevelPtr levelOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    default:
        return log4cxx::Level::getError();
    }
}

} // namespace

void configureLogging(std::string_view level)
{
    const log4cxx::JSONLayoutPtr layout = std::make_shared<log4cxx::JSONLayout>();
    const log4cxx::ConsoleAppenderPtr appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemErr());
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(log4cxx::Level::toLevel(std::string(level)));
}

void log(LogLevel level, std::string_view message, std::initializer_list<LogField> fields)
{
    const log4cxx::LevelPtr log4cxxLevel = levelOf(level);
    if (!logger()->isEnabledFor(log4cxxLevel)) {
        return;
    }
    for (const LogField &field : fields) {
        log4cxx::MDC::put(field.name, field.value);
    }
    logger()->forcedLog(log4cxxLevel, std::string(message));
    for (const LogField &field : fields) {
        std::string removed;
        log4cxx::MDC::remove(field.name, removed);
    }
}

} // namespace teaseldrift::telemetry
