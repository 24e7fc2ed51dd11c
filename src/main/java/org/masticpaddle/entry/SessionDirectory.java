package org.masticpaddle.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.masticpaddle.routing.SessionBinding;

/** Bindings of sessions to versions that are kept at the sidecars. Thread-safe. */
interface SessionDirectory {
    /**
     * Finds a binding.
     *
     * @param organisation organisation of the session
     * @param session session identifier chosen by the caller
     * @return the binding; empty if there is none or no home answers
     */
    CompletableFuture<Optional<SessionBinding>> find(String organisation, String session);

    /**
     * Binds a session unless an earlier binding stands.
     *
     * @param wanted binding to propose
     * @return the binding that stands
     */
    CompletableFuture<SessionBinding> bind(SessionBinding wanted);
}
