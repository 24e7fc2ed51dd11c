package org.masticpaddle.entry;

import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.routing.SessionBinding;
import org.masticpaddle.routing.SessionToken;

/**
 * Finds the versions that sessions are bound to, and binds new sessions.
 *
 * <p>A session token contains the binding, so that nothing has to be stored for callers that send it back. A session
 * that is identified by its name only is looked up at its replicas. All methods run on the entry's duty.
 */
final class SessionBinder {
    private final SessionToken tokens;
    private final SessionDirectory directory;
    private final EntryLoop loop;
    private final LongSupplier clock;

    SessionBinder(SessionToken tokens, SessionDirectory directory, EntryLoop loop, LongSupplier clock) {
        this.tokens = Objects.requireNonNull(tokens, "tokens is null");
        this.directory = Objects.requireNonNull(directory, "directory is null");
        this.loop = Objects.requireNonNull(loop, "loop is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    /**
     * Finds the binding of the request's session, if it has one, then calls the next action.
     *
     * @throws CallerErrorException if the session token is not valid
     */
    void resolve(RequestExecution execution, Runnable next) {
        final CallerRequest request = execution.request();
        if (request.session().isEmpty() || !(request.target() instanceof CallerRequest.Chat)) {
            next.run();
            return;
        }
        final String session = request.session().get();
        final String organisation = request.organisation().name();
        if (session.indexOf('.') >= 0) {
            execution.setSession(verifyToken(organisation, session));
            next.run();
            return;
        }
        directory
                .find(organisation, session)
                .whenComplete((found, error) -> loop.execute(() -> {
                    if (error == null) {
                        found.ifPresent(execution::setSession);
                    }
                    next.run();
                }));
    }

    /**
     * Finds the binding of a session without changing it. The result completes on any thread.
     *
     * @throws CallerErrorException if the session token is not valid
     */
    CompletableFuture<Optional<SessionBinding>> find(String organisation, String session) {
        return session.indexOf('.') >= 0
                ? CompletableFuture.completedFuture(Optional.of(verifyToken(organisation, session)))
                : directory.find(organisation, session);
    }

    private SessionBinding verifyToken(String organisation, String token) {
        final SessionToken.Check result = tokens.check(token, organisation, clock.getAsLong());
        if (result instanceof SessionToken.Valid valid) {
            return valid.binding();
        }
        throw new CallerErrorException(CallerError.notRun(
                CallerError.Kind.INVALID_REQUEST,
                "the session token is not valid: "
                        + ((SessionToken.Refused) result).reason().name().toLowerCase(Locale.ROOT)));
    }

    /** Binds the request's session to the chosen version, sends the token to the caller and calls the next action. */
    void bind(RequestExecution execution, Runnable next) {
        final CallerRequest request = execution.request();
        if (request.session().isEmpty() || execution.version().isEmpty()) {
            next.run();
            return;
        }
        final SessionBinding proposed = proposedBinding(execution);
        if (execution.session().filter(proposed::equals).isPresent()) {
            sendToken(execution, proposed);
            next.run();
            return;
        }
        directory
                .bind(proposed)
                .whenComplete((current, error) -> loop.execute(() -> {
                    final SessionBinding agreed = error == null ? current : proposed;
                    adopt(execution, agreed);
                    sendToken(execution, agreed);
                    next.run();
                }));
    }

    private SessionBinding proposedBinding(RequestExecution execution) {
        final VersionName chosen = execution.version().orElseThrow().name();
        return execution
                .session()
                .map(current -> current.version().equals(chosen) ? current : current.movedTo(chosen, clock.getAsLong()))
                .orElseGet(() -> new SessionBinding(
                        execution.request().organisation().name(),
                        execution.request().session().orElseThrow(),
                        chosen,
                        clock.getAsLong(),
                        0));
    }

    /**
     * Adopts the binding in effect, which may be that of another entry, and its version if that is active and allowed.
     */
    private static void adopt(RequestExecution execution, SessionBinding agreed) {
        execution.setSession(agreed);
        final ModelVersion declared =
                execution.configuration().document().versions().get(agreed.version());
        final boolean usable = declared != null
                && declared.state() == ModelVersion.State.ACTIVE
                && execution.request().organisation().allows(agreed.version());
        if (usable) {
            execution.setVersion(declared);
        }
    }

    private void sendToken(RequestExecution execution, SessionBinding binding) {
        execution.responder().setHeader("Masticpaddle-Session", tokens.issue(binding));
    }
}
