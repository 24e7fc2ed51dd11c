package org.masticpaddle.wire;

import org.masticpaddle.memory.RequestMemory;

/** Creates bodies of requests without bytes for tests of other packages. Thread-safe, having no state. */
public final class EmptyBody {
    private EmptyBody() {}

    /**
     * Creates an empty body.
     *
     * @return body that holds no memory
     */
    public static RequestBody create() {
        return new RequestBody(new byte[0], new RequestMemory(0).open("", new RequestMemory.Listener() {
                    @Override
                    public void onGranted() {}

                    @Override
                    public void onRefused() {}
                }));
    }
}
