#pragma once

#include <cstdint>

namespace siskinshunt {

/// How the peer of a TCP connection has ended the stream that it sends.
enum class StreamEnd : uint8_t {
    Orderly, ///< By a FIN, after all of its bytes.
    Aborted, ///< By a reset or a timeout of the connection, so that bytes may be missing.
    Undecided, ///< The error of the write in progress will tell; ask again when it has completed.
};

/// A write on the socket whose stream has ended.
struct StreamWrite {
    bool active = false; ///< Not completed yet.
    int error = 0; ///< Error number with which it failed; 0 if it has not.
};

/// To be called when a read on the connected `socket` has returned the end of the stream. That alone proves nothing: Linux reports the error of a
/// connection once, so if a write has got it, the next read returns the end of the stream. `lastWrite` is the last write on the socket; this side
/// must not have shut down its sending side.
StreamEnd findStreamEnd(int socket, const StreamWrite& lastWrite);

}
