package org.masticpaddle.control;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * What a reader knows of its stream. Immutable. Times are those of the reader's scheduler.
 *
 * @param stream stream that is read
 * @param era era of the records that were read, {@link SharedLog#NO_ERA} if the log names none
 * @param position offset of the next record to read, empty while the newest records are being listed
 * @param lastResponseNanos time of the last usable response, empty before the first one
 * @param outageStartNanos time of the first failed request since the last usable response, empty if none has failed
 * @param restores number of times that the history of the stream was replaced
 */
public record StreamHealth(
        LogStream stream,
        long era,
        OptionalLong position,
        OptionalLong lastResponseNanos,
        OptionalLong outageStartNanos,
        int restores) {
    /** Checks the arguments. */
    public StreamHealth {
        Objects.requireNonNull(stream, "stream is null");
        Objects.requireNonNull(position, "position is null");
        Objects.requireNonNull(lastResponseNanos, "lastResponseNanos is null");
        Objects.requireNonNull(outageStartNanos, "outageStartNanos is null");
    }

    /**
     * Describes a reader that has sent no request.
     *
     * @param stream stream that is read
     * @return health without a position and without a response
     */
    static StreamHealth unread(LogStream stream) {
        return new StreamHealth(
                stream, SharedLog.NO_ERA, OptionalLong.empty(), OptionalLong.empty(), OptionalLong.empty(), 0);
    }

    StreamHealth onResponse(long nowNanos) {
        return new StreamHealth(stream, era, position, OptionalLong.of(nowNanos), OptionalLong.empty(), restores);
    }

    StreamHealth onFailure(long nowNanos) {
        return outageStartNanos.isPresent()
                ? this
                : new StreamHealth(stream, era, position, lastResponseNanos, OptionalLong.of(nowNanos), restores);
    }

    StreamHealth onRestore() {
        return new StreamHealth(stream, era, position, lastResponseNanos, outageStartNanos, restores + 1);
    }

    StreamHealth at(long newEra, OptionalLong newPosition) {
        return new StreamHealth(stream, newEra, newPosition, lastResponseNanos, outageStartNanos, restores);
    }
}
