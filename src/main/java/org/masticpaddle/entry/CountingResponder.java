package org.masticpaddle.entry;

import java.util.Map;
import java.util.function.LongSupplier;

import org.masticpaddle.wire.Frame;

/** Passes an answer on and counts how it ended. Used by one thread at a time. */
final class CountingResponder implements Responder {
    private static final String ATTEMPT = "Masticpaddle-Attempt";

    private final Responder target;
    private final CallerRequest request;
    private final EntryCounters counters;
    private final LongSupplier nanoClock;
    private String attempt = "";
    private long firstByteNanos;
    private boolean ended;

    CountingResponder(Responder target, CallerRequest request, EntryCounters counters, LongSupplier nanoClock) {
        this.target = target;
        this.request = request;
        this.counters = counters;
        this.nanoClock = nanoClock;
    }

    @Override
    public void header(String name, String value) {
        if (ATTEMPT.equals(name)) {
            attempt = value;
        }
        target.header(name, value);
    }

    @Override
    public void head(int status, Map<String, String> headers) {
        target.head(status, headers);
    }

    @Override
    public boolean bytes(byte[] bytes) {
        if (firstByteNanos == 0) {
            firstByteNanos = nanoClock.getAsLong();
        }
        return target.bytes(bytes);
    }

    @Override
    public void restart() {
        target.restart();
    }

    @Override
    public void complete(Frame.End end) {
        target.complete(end);
        if (!ended) {
            ended = true;
            final long now = nanoClock.getAsLong();
            final long first = (firstByteNanos == 0 ? now : firstByteNanos) - request.arrivalNanos();
            counters.recordAnswer(request, end.charge(), first, now - request.arrivalNanos());
            AccessLog.answered(request, attempt, end.charge(), first, now - request.arrivalNanos());
        }
    }

    @Override
    public void fail(CallerError refusal) {
        target.fail(refusal);
        if (!ended) {
            ended = true;
            counters.recordError(request, refusal);
            AccessLog.failed(request, attempt, refusal);
        }
    }

    @Override
    public boolean begun() {
        return target.begun();
    }

    @Override
    public void onCallerGone(Runnable action) {
        target.onCallerGone(action);
    }
}
