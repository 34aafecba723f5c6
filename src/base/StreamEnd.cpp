#include "base/StreamEnd.h"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace siskinshunt {

StreamEnd findStreamEnd(int socket, const StreamWrite& lastWrite)
{
    tcp_info info {};
    socklen_t length = sizeof(info);
    // Without the state nothing proves an orderly end.
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &length))
        return StreamEnd::Aborted;
    // After a FIN the connection stays half open until it is reset or this side ends.
    if (info.tcpi_state != TCP_CLOSE)
        return StreamEnd::Orderly;
    if (lastWrite.active)
        return StreamEnd::Undecided;
    // A reset after a FIN fails the write with EPIPE, one without a FIN with ECONNRESET. If no write has failed, the read would have got the error of
    // a reset without a FIN.
    return lastWrite.error == 0 || lastWrite.error == EPIPE ? StreamEnd::Orderly : StreamEnd::Aborted;
}

}
