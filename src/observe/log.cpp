#include "jackdawweir/observe/log.h"

#include <atomic>
#include <fstream>
#include <iostream>

#include <absl/strings/str_cat.h>
#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

namespace jackdawweir::observe {

namespace {

namespace logging = boost::log;

std::atomic<std::uint64_t> droppedLines{0};

// Writes lines to one stream. A stream that failed once, for example because the disk of its file
// was full, takes the next line again; the lines that could not be written are counted.
class log_backend : public logging::sinks::text_ostream_backend
{
public:
    explicit log_backend(const boost::shared_ptr<std::ostream> &stream)
        : m_stream(stream)
    {
        add_stream(stream);
        auto_flush(true);
    }

    void consume(const logging::record_view &record, const string_type &line)
    {
        m_stream->clear();
        logging::sinks::text_ostream_backend::consume(record, line);
        if (!m_stream->good()) {
            droppedLines.fetch_add(1, std::memory_order_relaxed);
        }
    }

private:
    boost::shared_ptr<std::ostream> m_stream;
};

using log_sink = logging::sinks::synchronous_sink<log_backend>;

// The overflow strategy of the queue: drops and counts a line that does not fit.
class count_and_drop
{
public:
    template<typename Lock>
    static bool on_overflow(const logging::record_view & /*record*/, Lock & /*lock*/)
    {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
        return false;
    }

    static void on_queue_space_available()
    {
    }

    static void interrupt()
    {
    }
};

using queued_log_sink = logging::sinks::asynchronous_sink<
    log_backend,
    logging::sinks::bounded_fifo_queue<logQueueLines, count_and_drop>>;

// Kept because its thread must be stopped before the process exits.
boost::shared_ptr<queued_log_sink> queuedSink;

template<typename Sink>
boost::shared_ptr<Sink> addSink(const boost::shared_ptr<log_backend> &backend)
{
    auto sink = boost::make_shared<Sink>(backend);
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
    return sink;
}

std::atomic<bool> sinkPresent{false};

core::result<boost::shared_ptr<std::ostream>> openStream(const log_settings &settings)
{
    if (settings.file.empty()) {
        std::ostream &standard
            = settings.destination == log_destination::StandardOutput ? std::cout : std::cerr;
        return boost::shared_ptr<std::ostream>(&standard, boost::null_deleter());
    }
    auto stream = boost::make_shared<std::ofstream>(settings.file, std::ios::app);
    if (!stream->is_open()) {
        return core::error{core::error_code::InvalidArgument,
                           "start-logging",
                           "",
                           absl::StrCat("log file ", settings.file, " cannot be opened")};
    }
    return boost::shared_ptr<std::ostream>(stream);
}

} // namespace

core::status startLogging(const log_settings &settings)
{
    const core::result<boost::shared_ptr<std::ostream>> stream = openStream(settings);
    if (const core::error *failure = core::errorIn(stream)) {
        return *failure;
    }
    const auto backend = boost::make_shared<log_backend>(core::valueIn(stream));
    stopLogging();
    const log_level minimumLevel = settings.level;
    logging::core::get()->set_filter(
        [minimumLevel](const logging::attribute_value_set &attributes) {
            const auto level = logging::extract<log_level>("Severity", attributes);
            return level && level.get() >= minimumLevel;
        });
    if (settings.isQueued) {
        queuedSink = addSink<queued_log_sink>(backend);
    } else {
        addSink<log_sink>(backend);
    }
    sinkPresent.store(true);
    return core::okStatus();
}

void stopLogging()
{
    sinkPresent.store(false);
    logging::core::get()->flush();
    logging::core::get()->remove_all_sinks();
    if (queuedSink != nullptr) {
        queuedSink->stop();
        queuedSink->flush();
        queuedSink.reset();
    }
}

std::uint64_t droppedLogLines()
{
    return droppedLines.load(std::memory_order_relaxed);
}

void logEvent(const event &logged)
{
    // Boost.Log writes records to standard output when no sink is registered.
    if (!sinkPresent.load(std::memory_order_relaxed)) {
        return;
    }
    logging::sources::severity_logger_mt<log_level> logger(logging::keywords::severity
                                                           = logged.level);
    BOOST_LOG(logger) << toLogLine(logged);
}

} // namespace jackdawweir::observe
