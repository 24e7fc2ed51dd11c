package org.masticpaddle.entry;

import java.util.Map;
import java.util.function.LongSupplier;

import org.masticpaddle.wire.Frame;

/**
 * Delegates to another responder, and counts and logs the result of the request. Used by one thread at a
 * time.
 */
final class CountingResponder implements Responder {
    private static final String ATTEMPT_HEADER = "Masticpaddle-Attempt";

    private final Responder delegate;
    private final CallerRequest request;
    private final EntryCounters counters;
    private final LongSupplier nanoClock;
    private String attemptId = "";
    private long firstByteNanos;
    private boolean ended;

    CountingResponder(Responder delegate, CallerRequest request, EntryCounters counters, LongSupplier nanoClock) {
        this.delegate = delegate;
        this.request = request;
        this.counters = counters;
        this.nanoClock = nanoClock;
    }

    @Override
    public void setHeader(String name, String value) {
        if (ATTEMPT_HEADER.equals(name)) {
            attemptId = value;
        }
        delegate.setHeader(name, value);
    }

    @Override
    public void setHead(int status, Map<String, String> headers) {
        delegate.setHead(status, headers);
    }

    @Override
    public boolean write(byte[] bytes) {
        if (firstByteNanos == 0) {
            firstByteNanos = nanoClock.getAsLong();
        }
        return delegate.write(bytes);
    }

    @Override
    public void reset() {
        delegate.reset();
    }

    @Override
    public void complete(Frame.End end) {
        delegate.complete(end);
        if (!ended) {
            ended = true;
            final long now = nanoClock.getAsLong();
            final long firstByte = (firstByteNanos == 0 ? now : firstByteNanos) - request.arrivalNanos();
            counters.recordAnswer(request, end.charge(), firstByte, now - request.arrivalNanos());
            AccessLog.logAnswer(request, attemptId, end.charge(), firstByte, now - request.arrivalNanos());
        }
    }

    @Override
    public void fail(CallerError error) {
        delegate.fail(error);
        if (!ended) {
            ended = true;
            counters.recordError(request, error);
            AccessLog.logError(request, attemptId, error);
        }
    }

    @Override
    public boolean started() {
        return delegate.started();
    }

    @Override
    public void onCallerDisconnect(Runnable action) {
        delegate.onCallerDisconnect(action);
    }
}
