package org.masticpaddle.wire;

import java.util.Objects;

import org.masticpaddle.memory.RequestMemory;

/**
 * Body of a request that was read completely, with the memory that is reserved for it.
 *
 * <p>Invariants: the memory is given back exactly once, with the bytes; the length remains known after that. Not thread-safe: used
 * on one event loop.
 */
public final class RequestBody {
    private final int length;
    private final RequestMemory.Reservation reservation;
    private byte[] bytes;

    RequestBody(byte[] bytes, RequestMemory.Reservation reservation) {
        this.bytes = Objects.requireNonNull(bytes, "bytes is null");
        this.reservation = Objects.requireNonNull(reservation, "reservation is null");
        length = bytes.length;
    }

    /**
     * Returns the bytes, which nobody may change.
     *
     * @return the whole body, an empty array if there is none
     * @throws IllegalStateException if the body was released
     */
    public byte[] bytes() {
        if (bytes == null) {
            throw new IllegalStateException("the body was released");
        }
        return bytes;
    }

    /**
     * Returns the size of the body.
     *
     * @return number of bytes, also if the body was released
     */
    public int length() {
        return length;
    }

    /** Gives the memory back, since the request will not be sent again; has no effect the second time. */
    public void release() {
        bytes = null;
        reservation.close();
    }
}
