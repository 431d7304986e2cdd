package rendezvous

import _ "hemlockquay/internal/fixedseed"
