/**
 * Membership: the view of all instances built from the instance list and observations, bounded subsets, probes and
 * connection health.
 */
package org.masticpaddle.membership;
