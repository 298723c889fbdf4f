#include "support/fakeupstream.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: citronpitch-fakeupstream SETTINGS\n";
        return 2;
    }
    try {
        boost::asio::io_context io;
        Citronpitch::FakeUpstream upstream(io, Citronpitch::loadFakeUpstreamSettings(argv[1]));
        boost::asio::signal_set leaveSignal(io, SIGUSR1);
        leaveSignal.async_wait([&](boost::system::error_code, int) { upstream.leave(); });
        boost::asio::signal_set endSignal(io, SIGTERM, SIGINT);
        endSignal.async_wait([&](boost::system::error_code, int) { io.stop(); });
        io.run();
    } catch (const std::exception &e) {
        std::cerr << "citronpitch-fakeupstream: " << e.what() << "\n";
        return 1;
    }
    return 0;
}
