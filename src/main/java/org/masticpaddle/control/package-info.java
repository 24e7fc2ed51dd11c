/** Access of gateways to the platform's log: the interfaces of the log and the follower of its keyed streams. */
package org.masticpaddle.control;
