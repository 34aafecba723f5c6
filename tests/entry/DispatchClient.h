#pragma once

#include "entry/UpstreamClient.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace siskinshunt {

/// Runs one dispatch at a time and returns the reported events as text.
struct DispatchClient {
    std::string sendRequest(const std::string& address, const std::string& id, TimeMs timeout = TimeMs { 2000 }, const std::string& body = "b")
    {
        std::string events;
        report = [&](const UpstreamEvent& event) {
            if (event.kind == UpstreamEventKind::Head)
                events += std::to_string(event.status) + " ";
            events += event.bytes;
            if (event.kind == UpstreamEventKind::Failed)
                events += " " + std::string(nameOf(event.failure));
            if (event.kind == UpstreamEventKind::End)
                events += " end";
            done = event.kind == UpstreamEventKind::Failed || event.kind == UpstreamEventKind::End;
        };
        done = false;
        UpstreamDispatch dispatch { .dispatch = ++lastDispatch, .address = address, .request = { method, "/x", { { "Host", "h" }, { "Id", id } }, body } };
        dispatch.firstByteTimeout = dispatch.progressTimeout = timeout;
        dispatch.idHeader = "Id";
        dispatch.idValue = id;
        client.dispatch(std::move(dispatch));
        // The context stops when it runs out of work.
        context.restart();
        while (!done)
            context.run_one();
        context.poll();
        return events;
    }

    boost::asio::io_context context { 1 };
    std::function<void(const UpstreamEvent&)> report;
    UpstreamClient client { context, {}, [this](const UpstreamEvent& event) { report(event); } };
    DispatchId lastDispatch = 0;
    bool done = false;
    std::string method = "POST";
};

}
