package org.masticpaddle.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.routing.SessionBinding;

/** Directory of the versions that sessions are bound to. Thread-safe. */
interface SessionDirectory {
    /**
     * Finds a binding.
     *
     * @param organisation organisation of the session
     * @param session session identifier chosen by the caller
     * @return the binding; empty if there is none or no replica responds
     */
    CompletableFuture<Optional<SessionBinding>> find(String organisation, String session);

    /**
     * Binds a session unless it has an earlier binding.
     *
     * @param proposed the proposed binding
     * @return the binding in effect: the earlier one or the proposed one; the proposed one as well if no replica
     *     responds
     */
    CompletableFuture<SessionBinding> bind(SessionBinding proposed);
}
