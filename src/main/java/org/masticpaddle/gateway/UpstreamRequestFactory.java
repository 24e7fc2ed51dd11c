package org.masticpaddle.gateway;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.routes.KeyOwner;
import org.masticpaddle.wire.HttpRequest;

/** Creates the requests to upstreams for one caller's request. Used on the event loop only. */
final class UpstreamRequestFactory {
    private final GatewayContext context;
    private final AdmittedRequest admitted;

    UpstreamRequestFactory(GatewayContext context, AdmittedRequest admitted) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.admitted = Objects.requireNonNull(admitted, "admitted is null");
    }

    /**
     * Creates the request of one attempt.
     *
     * @param upstream receiver
     * @param model name of the model to run
     * @param remainingMillis time until the deadline of the request
     * @param resumeAfterEvent identifier of the event after which a stream resumes, empty for a stream from its start
     */
    HttpRequest create(Upstream upstream, String model, long remainingMillis, OptionalLong resumeAfterEvent) {
        final UpstreamRequestMetadata metadata = new UpstreamRequestMetadata(
                upstream.id(),
                Math.max(1, remainingMillis),
                admitted.keyOwner().map(KeyOwner::organisation),
                admitted.route().modelsBySize().isEmpty() ? Optional.empty() : Optional.of(model),
                admitted.rank(),
                context.urgencyOrder().within(admitted),
                resumeAfterEvent);
        return new HttpRequest(
                upstream.origin(),
                admitted.method(),
                admitted.target(),
                context.headerCodec().upstreamRequestHeaders(admitted.headers(), metadata),
                admitted.body().bytes(),
                Duration.ofMillis(admitted.timeoutMillis() * 2),
                !admitted.route().repeatable());
    }
}
