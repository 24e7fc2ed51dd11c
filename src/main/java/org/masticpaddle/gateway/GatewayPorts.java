package org.masticpaddle.gateway;

import java.net.URI;
import java.util.function.Consumer;

import org.masticpaddle.control.ControlCodec;
import org.masticpaddle.control.SharedLog;
import org.masticpaddle.wire.HttpClient;

/**
 * What binds a gateway to one platform. An implementation is found through {@link java.util.ServiceLoader}; it is immutable
 * and thread-safe.
 */
public interface GatewayPorts {
    /**
     * Returns the translation of request and answer headers.
     *
     * @return the dialect
     */
    HeaderCodec headerCodec();

    /**
     * Returns the translation of the log's records.
     *
     * @return the codec
     */
    ControlCodec recordCodec();

    /**
     * Binds the shared log.
     *
     * @param client client for the log
     * @param origin where the log answers
     * @param calls receives {@code true} for each call that was answered and {@code false} for each that failed
     * @return the log
     */
    SharedLog log(HttpClient client, URI origin, Consumer<Boolean> calls);
}
