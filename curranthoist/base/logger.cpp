#include "curranthoist/base/logger.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>

namespace curranthoist::base {

namespace {

log4cxx::LevelPtr level_named(std::string_view name)
{
    if (name == "debug") {
        return log4cxx::Level::getDebug();
    }
    if (name == "info") {
        return log4cxx::Level::getInfo();
    }
    if (name == "warn") {
        return log4cxx::Level::getWarn();
    }
    if (name == "error") {
        return log4cxx::Level::getError();
    }
    return nullptr;
}

bool install_appender(const log4cxx::LevelPtr& level)
{
    const log4cxx::LayoutPtr layout(
        new log4cxx::PatternLayout(LOG4CXX_STR("%d{ISO8601} %p %c: %m%n")));
    const std::shared_ptr<log4cxx::ConsoleAppender> appender(
        new log4cxx::ConsoleAppender(layout, log4cxx::ConsoleAppender::getSystemErr()));
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    root->setLevel(level);
    return true;
}

// The logger of a part. The default appender is installed before the first use, because
// log4cxx prints a warning of its own for a logger without one.
log4cxx::LoggerPtr part_logger(const std::string& part)
{
    static const bool installed = install_appender(log4cxx::Level::getWarn());
    static_cast<void>(installed);
    return log4cxx::Logger::getLogger(part);
}

} // namespace

logger::logger(std::string_view part)
    : part_(part)
{}

void logger::debug(std::string_view sentence) const
{
    LOG4CXX_DEBUG(part_logger(part_), std::string(sentence));
}

void logger::info(std::string_view sentence) const
{
    LOG4CXX_INFO(part_logger(part_), std::string(sentence));
}

void logger::warn(std::string_view sentence) const
{
    LOG4CXX_WARN(part_logger(part_), std::string(sentence));
}

void logger::error(std::string_view sentence) const
{
    LOG4CXX_ERROR(part_logger(part_), std::string(sentence));
}

bool logger::info_enabled() const
{
    return part_logger(part_)->isInfoEnabled();
}

bool configure_logging(std::string_view level)
{
    const log4cxx::LevelPtr chosen = level_named(level);
    if (!chosen) {
        return false;
    }
    part_logger("base");
    return install_appender(chosen);
}

} // namespace curranthoist::base
