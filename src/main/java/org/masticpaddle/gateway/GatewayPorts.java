package org.masticpaddle.gateway;

import java.net.URI;
import java.util.function.Consumer;

import org.masticpaddle.control.ControlCodec;
import org.masticpaddle.control.SharedLog;
import org.masticpaddle.wire.HttpClient;

/**
 * Binding of a gateway to one platform: its header and record formats and its log. Implementations are found through
 * {@link java.util.ServiceLoader}; they are immutable and thread-safe.
 */
public interface GatewayPorts {
    /**
     * Returns the codec of request and response headers.
     *
     * @return codec of the platform's header names and formats
     */
    HeaderCodec headerCodec();

    /**
     * Returns the codec of the log's records.
     *
     * @return codec of the platform's record formats
     */
    ControlCodec recordCodec();

    /**
     * Creates the client of the shared log.
     *
     * @param client HTTP client for the requests to the log
     * @param origin origin of the log
     * @param requestOutcomes receives {@code true} for each request that the log responded to and {@code false} for each that
     *     failed
     * @return client of the log at the origin
     */
    SharedLog log(HttpClient client, URI origin, Consumer<Boolean> requestOutcomes);
}
