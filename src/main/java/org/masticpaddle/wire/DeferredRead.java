package org.masticpaddle.wire;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.xnio.StreamConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Lets the first read of a connection find nothing, so that its reader waits until the selector reports bytes.
 *
 * <p>Undertow reads a connection when it is accepted, which is a task of the I/O thread, and the thread selects only when it
 * has no tasks left. If the responses bring further connections, there is always a task, and neither the open connections nor
 * the timers of the thread are served. Used on the connection's I/O thread only.
 */
final class DeferredRead extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private boolean deferred = true;

    private DeferredRead(StreamSourceConduit next) {
        super(next);
    }

    /** Defers the first read of a connection that was just accepted. */
    static void install(StreamConnection connection) {
        final ConduitStreamSourceChannel channel = connection.getSourceChannel();
        channel.setConduit(new DeferredRead(channel.getConduit()));
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (deferred) {
            deferred = false;
            return 0;
        }
        return next.read(target);
    }
}
