package subset

import _ "hemlockquay/internal/fixedseed"
