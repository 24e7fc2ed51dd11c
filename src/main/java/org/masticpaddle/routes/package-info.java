/** The routing table of a gateway: routes, services, organisations and limits of one configuration version. */
package org.masticpaddle.routes;
