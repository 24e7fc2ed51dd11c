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
 * Finds the version that a session is bound to, and binds new sessions.
 *
 * <p>A caller that returns the token needs no memory on our side. One that only names a session is looked up at the
 * session's homes. All methods run on the entry's duty.
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
     * Finds the binding of the request's session, if it has one, and goes on.
     *
     * @throws CallerErrorException if the session token is not valid
     */
    void bind(RequestExecution run, Runnable next) {
        final CallerRequest request = run.request();
        if (request.session().isEmpty() || !(request.target() instanceof CallerRequest.Chat)) {
            next.run();
            return;
        }
        final String session = request.session().get();
        final String organisation = request.organisation().name();
        if (session.indexOf('.') >= 0) {
            run.session(checked(organisation, session));
            next.run();
            return;
        }
        directory
                .find(organisation, session)
                .whenComplete((found, error) -> loop.complete(() -> {
                    if (error == null) {
                        found.ifPresent(run::session);
                    }
                    next.run();
                }));
    }

    /**
     * Finds the binding of a session without changing it. The result may come on any thread.
     *
     * @throws CallerErrorException if the session token is not valid
     */
    CompletableFuture<Optional<SessionBinding>> find(String organisation, String session) {
        return session.indexOf('.') >= 0
                ? CompletableFuture.completedFuture(Optional.of(checked(organisation, session)))
                : directory.find(organisation, session);
    }

    private SessionBinding checked(String organisation, String token) {
        final SessionToken.Check check = tokens.check(token, organisation, clock.getAsLong());
        if (check instanceof SessionToken.Valid valid) {
            return valid.binding();
        }
        throw new CallerErrorException(CallerError.notRun(
                CallerError.Kind.INVALID_REQUEST,
                "the session token is not valid: "
                        + ((SessionToken.Refused) check).reason().name().toLowerCase(Locale.ROOT)));
    }

    /** Binds the session of a request whose version is chosen, tells the caller its token, and goes on. */
    void confirm(RequestExecution run, Runnable next) {
        final CallerRequest request = run.request();
        if (request.session().isEmpty() || run.version().isEmpty()) {
            next.run();
            return;
        }
        final SessionBinding wanted = binding(run);
        if (run.session().filter(wanted::equals).isPresent()) {
            answer(run, wanted);
            next.run();
            return;
        }
        directory
                .bind(wanted)
                .whenComplete((winner, error) -> loop.complete(() -> {
                    final SessionBinding agreed = error == null ? winner : wanted;
                    adopt(run, agreed);
                    answer(run, agreed);
                    next.run();
                }));
    }

    private SessionBinding binding(RequestExecution run) {
        final VersionName chosen = run.version().orElseThrow().name();
        return run.session()
                .map(known -> known.version().equals(chosen) ? known : known.movedTo(chosen, clock.getAsLong()))
                .orElseGet(() -> new SessionBinding(
                        run.request().organisation().name(),
                        run.request().session().orElseThrow(),
                        chosen,
                        clock.getAsLong(),
                        0));
    }

    /** Takes over the version that another entry has bound the session to first, if it still takes work. */
    private static void adopt(RequestExecution run, SessionBinding agreed) {
        run.session(agreed);
        final ModelVersion declared = run.document().document().versions().get(agreed.version());
        final boolean usable = declared != null
                && declared.state() == ModelVersion.State.ACTIVE
                && run.request().organisation().allows(agreed.version());
        if (usable) {
            run.version(declared);
        }
    }

    private void answer(RequestExecution run, SessionBinding binding) {
        run.responder().header("Masticpaddle-Session", tokens.issue(binding));
    }
}
