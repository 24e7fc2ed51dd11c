/** Interfaces of the platform's shared log, and the follower by which a gateway replicates a keyed stream. */
package org.masticpaddle.control;
