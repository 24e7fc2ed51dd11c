package org.masticpaddle.rollout;

/**
 * Requests of one gateway that are in flight during a rollout. Immutable.
 *
 * @param onOldVersions requests that run on old versions
 * @param lateOnNewVersion requests that run on the new version and take longer than expected
 */
public record GatewayActivity(int onOldVersions, int lateOnNewVersion) {
    /** No request is in flight. */
    public static final GatewayActivity NONE = new GatewayActivity(0, 0);
}
