package org.masticpaddle.routes.check;

import java.net.URI;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.wire.HttpClient;

/**
 * Form in which the operator of a platform writes the configuration of the gateways. Implementations are found through
 * {@link java.util.ServiceLoader}; they are immutable and thread-safe.
 */
public interface ConfigurationFormat {
    /**
     * Returns whether a file seems to have this form.
     *
     * @param file name of the file
     * @param content content of the file
     * @return {@code true} if mistakes in the file are best described as those of this form
     */
    boolean recognises(String file, byte[] content);

    /**
     * Reads a configuration, and finds all mistakes of single fields at once.
     *
     * @param file name of the file for messages
     * @param content content of the file
     * @return the configuration as far as it can be read
     */
    DraftReading read(String file, byte[] content);

    /**
     * Reads the configuration in force.
     *
     * @param client started HTTP client
     * @param origin origin of the platform's store
     * @return content of the configuration, empty if there is none; fails with
     *     {@link org.masticpaddle.control.SharedLogException} if the store does not provide it
     */
    CompletableFuture<Optional<byte[]>> inForce(HttpClient client, URI origin);
}
