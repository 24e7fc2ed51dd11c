package org.masticpaddle.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Optional;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.http.ClientConnections;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Attachable;
import io.undertow.util.AttachmentKey;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Checks the responses that a connection receives: bytes that break the syntax of a response are not passed on, and reading
 * fails from there on.
 *
 * <p>Undertow's client is lenient. It takes any three digits for a status, joins a line that is no field to the value before
 * it, uses the first of several lengths, reads to the end of the connection if it does not know a transfer coding, and skips
 * characters in the size of a chunk. Used on the connection's I/O thread only.
 */
final class CheckedResponses extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final AttachmentKey<CheckedResponses> KEY = AttachmentKey.create(CheckedResponses.class);
    private static final int HTTP_PORT = 80;

    private Optional<ResponseSyntax> expected = Optional.empty();

    private CheckedResponses(StreamSourceConduit next) {
        super(next);
    }

    /**
     * Opens a connection whose responses are checked.
     *
     * @param callback receives the connection on its I/O thread, or the failure
     * @param origin scheme, host and port of the peer
     * @param worker its I/O threads carry the connection
     * @param buffers buffers of the connection
     * @param options options of the connection
     * @throws RuntimeException if no connection can be opened to such an address
     */
    static void connect(
            ClientCallback<ClientConnection> callback,
            URI origin,
            XnioWorker worker,
            ByteBufferPool buffers,
            OptionMap options) {
        final InetSocketAddress address =
                new InetSocketAddress(origin.getHost(), origin.getPort() < 0 ? HTTP_PORT : origin.getPort());
        worker.openStreamConnection(
                        address, opened -> callback.completed(connectionOver(opened, buffers, options)), options)
                .addNotifier(
                        new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                            @Override
                            public void handleFailed(IOException e, Void attachment) {
                                callback.failed(e);
                            }
                        },
                        null);
    }

    /** Returns the check of a connection that {@link #connect} has opened. */
    static CheckedResponses of(ClientConnection connection) {
        return ((Attachable) connection).getAttachment(KEY);
    }

    private static ClientConnection connectionOver(StreamConnection opened, ByteBufferPool buffers, OptionMap options) {
        // Below the conduit in which the client puts back bytes that it has read too far, so that each byte passes
        // once.
        final CheckedResponses responses =
                new CheckedResponses(opened.getSourceChannel().getConduit());
        opened.getSourceChannel().setConduit(responses);
        final ClientConnection connection = ClientConnections.over(opened, buffers, options);
        ((Attachable) connection).putAttachment(KEY, responses);
        return connection;
    }

    /**
     * Expects the response to the next request, after the one before is complete.
     *
     * @param method method of the request
     */
    void expect(String method) {
        expected = Optional.of(new ResponseSyntax(method));
    }

    /** Returns whether nothing that was received breaks the syntax, so that the connection may carry another request. */
    boolean intact() {
        return expected.filter(ResponseSyntax::malformed).isEmpty();
    }

    @Override
    public int read(ByteBuffer destination) throws IOException {
        if (expected.isEmpty()) {
            return next.read(destination);
        }
        final ResponseSyntax response = expected.get();
        response.throwIfMalformed();
        final int start = destination.position();
        final int count = next.read(destination);
        if (count <= 0) {
            return count;
        }
        final int accepted = response.accept(destination, start, start + count);
        if (accepted == 0) {
            response.throwIfMalformed();
        }
        destination.position(start + accepted);
        return accepted;
    }

    @Override
    public long read(ByteBuffer[] destinations, int offset, int length) throws IOException {
        for (int index = offset; index < offset + length; index++) {
            if (destinations[index].hasRemaining()) {
                return read(destinations[index]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        return IoUtils.transfer(new ConduitReadableByteChannel(this), count, throughBuffer, target);
    }

    @Override
    public void resumeReads() {
        if (intact()) {
            next.resumeReads();
        } else {
            // The peer may send nothing more, while the failure is still to be read.
            next.wakeupReads();
        }
    }
}
